"""Digests of request content and of generated token sequences."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import xxhash

from aspendrift_model.ids import Fingerprint

__all__ = ["TokenDigest", "content_fingerprint", "token_digest"]


class TokenDigest:
    """Incremental digest of a token sequence; detects lost or repeated tokens."""

    def __init__(self) -> None:
        self._hash = xxhash.xxh3_64()
        self.n_tokens = 0

    def add(self, text: str) -> None:
        """Add the next token."""
        encoded = text.encode()
        self._hash.update(len(encoded).to_bytes(4, "big"))
        self._hash.update(encoded)
        self.n_tokens += 1

    def hexdigest(self) -> str:
        """Return the digest of the tokens added so far."""
        return self._hash.hexdigest()


def token_digest(tokens: Iterable[str]) -> str:
    """Return the digest of a complete token sequence."""
    digest = TokenDigest()
    for text in tokens:
        digest.add(text)
    return digest.hexdigest()


def content_fingerprint(*parts: str) -> Fingerprint:
    """Return a collision-resistant fingerprint of request content."""
    joined = b"".join(
        len(part.encode()).to_bytes(8, "big") + part.encode() for part in parts
    )
    return Fingerprint(hashlib.blake2b(joined, digest_size=16).hexdigest())
