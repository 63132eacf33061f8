"""Bearer tokens and what their bearers may see and do."""

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
    """Who acts, and on which objects.

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
    def of(cls, token: settings.Token | None) -> "Scope":
        """Returns the scope of a token; without one, of an open listener."""
        if token is None:
            return cls("anonymous", settings.Role.OPERATOR, commands.ANY_FIRM)
        services = frozenset(ids.ServiceId(name) for name in token.services)
        return cls(
            token.name, token.role, ids.FirmId(token.firm), services or None
        )

    @property
    def every_firm(self) -> bool:
        """Whether the scope covers all firms without a limit."""
        return self.firm == commands.ANY_FIRM and self.services is None

    def covers_firm(self, firm: ids.FirmId | None) -> bool:
        """Tells whether objects of a firm are within the scope."""
        return self.firm in (commands.ANY_FIRM, firm)

    def covers_service(self, service_id: ids.ServiceId | None) -> bool:
        """Tells whether the scope's services include one."""
        return self.services is None or service_id in self.services


class Authenticator:
    """Checks bearer tokens against the digests in the settings."""

    def __init__(self, auth: settings.AuthSettings) -> None:
        """Prepares to check tokens.

        Args:
            auth: The section of the settings.
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
            `Failure` of kind UNAUTHORIZED. A token that was sent is always
            checked.
        """
        value = headers.get("authorization")
        if value is None:
            if self._required:
                return _unauthorized("a bearer token is required")
            return None
        if not value.lower().startswith(_SCHEME):
            return _unauthorized("the scheme must be Bearer")
        secret = value[len(_SCHEME) :].strip()
        return self._find(secret.encode()) or _unauthorized(
            "the bearer token is not known"
        )

    def _find(self, secret: bytes) -> settings.Token | None:
        """Returns the token of a secret.

        All digests are compared, so that the time taken doesn't depend on
        which token matches.
        """
        digest = hashlib.sha256(secret).digest()
        found = None
        for known, token in self._tokens:
            if hmac.compare_digest(known, digest):
                found = token
        return found


def _unauthorized(reason: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.UNAUTHORIZED, reason)
