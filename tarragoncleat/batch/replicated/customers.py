"""The customers of a configuration, and who a caller is.

A key is a secret: what compares, stores or logs callers sees only its digest.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import hashlib

from tarragoncleat.batch.replicated import model

__all__ = ["NO_KEY", "Caller", "CustomerTable", "digest_key"]

# Digest of callers that present no key.
NO_KEY = model.KeyDigest(b"")
# A customer with less still gets a share.
_MIN_WEIGHT = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A caller that may use a queue.

    `customer` is empty for an anonymous one.
    """

    customer: model.CustomerName
    key: model.KeyDigest

    def may_see(self, submitter: "Caller") -> bool:
        """Whether the caller may see and cancel the jobs of another caller.

        A key that has moved to another customer still leads to its jobs. Jobs
        of anonymous callers belong to none; and where callers need no key, a
        job is protected by its id alone.
        """
        if not self.customer or not submitter.customer:
            return True
        return self.customer == submitter.customer or self.key == submitter.key

    def may_be(self, key: model.KeyDigest) -> bool:
        """Whether a caller with a key may be this one."""
        return not self.customer or self.key == key


_ANONYMOUS = Caller(model.CustomerName(""), NO_KEY)


def digest_key(key: bytes) -> model.KeyDigest:
    """Returns the digest by which a key is known."""
    return model.KeyDigest(hashlib.sha256(key).digest())


class CustomerTable:
    """The customers of one configuration."""

    def __init__(
        self, customers: Iterable[model.CustomerPolicy] | None = None
    ) -> None:
        """Creates a table; without customers, callers need no key."""
        self._is_configured = customers is not None
        listed = tuple(customers or ())
        # A name that is listed twice has the keys of both.
        self._customers = {item.name: item for item in listed}
        self._capped = tuple(
            item for item in self._customers.values() if any(item.cap)
        )
        self._weights = {
            item.name: max(_MIN_WEIGHT, item.weight)
            for item in self._customers.values()
        }
        # A lookup reveals by its timing no more than digests, not keys.
        self._callers = {
            digest: Caller(customer.name, digest)
            for customer in listed
            for digest in customer.key_digests
        }

    @property
    def is_configured(self) -> bool:
        """Whether callers need keys."""
        return self._is_configured

    @property
    def policies(self) -> Iterable[model.CustomerPolicy]:
        """The customers."""
        return self._customers.values()

    @property
    def capped(self) -> tuple[model.CustomerPolicy, ...]:
        """The customers with caps."""
        return self._capped

    @property
    def weights(self) -> Mapping[model.CustomerName, float]:
        """Weight of each customer, above 0."""
        return self._weights

    def get(self, name: model.CustomerName) -> model.CustomerPolicy | None:
        """Returns a customer, or None if it isn't configured."""
        return self._customers.get(name)

    def authenticate(
        self, queue: model.QueuePolicy, key: model.KeyDigest
    ) -> Caller | None:
        """Returns who calls a queue, or None if the caller may not.

        A key that no customer has opens no queue: it may have been withdrawn.
        """
        if not self._is_configured:
            return _ANONYMOUS
        if key == NO_KEY:
            return _ANONYMOUS if queue.allows_anonymous else None
        return self._callers.get(key)
