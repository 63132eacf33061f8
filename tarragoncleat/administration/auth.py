"""Authentication by bearer token, and the access rights of a token."""

from collections.abc import Mapping
import dataclasses
import hashlib
import hmac

from tarragoncleat.kernel import errors
from tarragoncleat.kernel import ids
from tarragoncleat.kernel import settings
from tarragoncleat.state import commands

__all__ = ["Authenticator", "Scope"]

_SCHEME = "bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """Identity and access rights of a request.

    Attributes:
        actor: Name of the token.
        role: Role of the token.
        firm: Firm of the token; `commands.ANY_FIRM` for every firm.
        services: Services that the token is limited to; None for all.
    """

    actor: str
    role: settings.Role
    firm: ids.FirmId
    services: frozenset[ids.ServiceId] | None = None

    @classmethod
    def from_token(cls, token: settings.Token | None) -> "Scope":
        """Returns the scope of a token; without a token, full access."""
        if token is None:
            return cls("anonymous", settings.Role.OPERATOR, commands.ANY_FIRM)
        services = frozenset(ids.ServiceId(name) for name in token.services)
        return cls(
            token.name, token.role, ids.FirmId(token.firm), services or None
        )

    @property
    def is_unrestricted(self) -> bool:
        """Whether the scope covers all services of all firms."""
        return self.firm == commands.ANY_FIRM and self.services is None

    def covers_firm(self, firm: ids.FirmId | None) -> bool:
        """Returns whether objects of a firm are within the scope."""
        return self.firm in (commands.ANY_FIRM, firm)

    def covers_service(self, service_id: ids.ServiceId | None) -> bool:
        """Returns whether a service is within the scope."""
        return self.services is None or service_id in self.services


class Authenticator:
    """Checks bearer tokens against the digests in the settings."""

    def __init__(self, auth: settings.AuthSettings) -> None:
        """Creates the authenticator.

        Args:
            auth: The `auth` section of the settings.
        """
        self._required = auth.required
        self._tokens = tuple(
            (bytes.fromhex(token.sha256), token) for token in auth.tokens
        )

    def authenticate(
        self, headers: Mapping[str, str]
    ) -> settings.Token | None | errors.Failure:
        """Returns the token of a request.

        Args:
            headers: Headers with lower-case names.

        Returns:
            The token; None when no token was sent and none is required; or a
            `Failure` of kind UNAUTHORIZED. A token is checked whenever it is
            sent, even if none is required.
        """
        value = headers.get("authorization")
        if value is None:
            if self._required:
                return _unauthorized("a bearer token is required")
            return None
        if not value.lower().startswith(_SCHEME):
            return _unauthorized("the authorization scheme must be Bearer")
        secret = value[len(_SCHEME) :].strip()
        return self._find_token(secret.encode()) or _unauthorized(
            "the bearer token is unknown"
        )

    def _find_token(self, secret: bytes) -> settings.Token | None:
        """Returns the token with a secret, or None.

        All digests are compared, so that the duration doesn't depend on which
        token matches.
        """
        digest = hashlib.sha256(secret).digest()
        matching = None
        for token_digest, token in self._tokens:
            if hmac.compare_digest(token_digest, digest):
                matching = token
        return matching


def _unauthorized(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.UNAUTHORIZED, reason)
