"""Distinct types for the identifiers of the domain."""

from __future__ import annotations

from typing import NewType

__all__ = [
    "AccountId",
    "AdapterName",
    "AttemptId",
    "ChangeId",
    "DaemonId",
    "Fingerprint",
    "FencingNumber",
    "Incarnation",
    "ItemKey",
    "ModelName",
    "OrderId",
    "PoolName",
    "PrefixKey",
    "ProfileName",
    "PromptPartId",
    "RegionName",
    "RequestId",
    "Revision",
    "SoftwareVersion",
    "StageName",
    "TargetId",
    "ZoneName",
]

AccountId = NewType("AccountId", str)
AdapterName = NewType("AdapterName", str)
AttemptId = NewType("AttemptId", str)
ChangeId = NewType("ChangeId", str)
DaemonId = NewType("DaemonId", str)
Fingerprint = NewType("Fingerprint", str)
FencingNumber = NewType("FencingNumber", int)
Incarnation = NewType("Incarnation", int)
ItemKey = NewType("ItemKey", str)
ModelName = NewType("ModelName", str)
OrderId = NewType("OrderId", str)
PoolName = NewType("PoolName", str)
PrefixKey = NewType("PrefixKey", str)
ProfileName = NewType("ProfileName", str)
PromptPartId = NewType("PromptPartId", str)
RegionName = NewType("RegionName", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
SoftwareVersion = NewType("SoftwareVersion", str)
StageName = NewType("StageName", str)
TargetId = NewType("TargetId", str)
ZoneName = NewType("ZoneName", str)
