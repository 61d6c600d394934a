"""Authentication by bearer token, and role checks."""

import hmac

import msgspec

from bilberry_core.outcome import Failure, Result, Success

from ..http.messages import Environ, Response, problem_response
from ..settings import Role, TokenSettings

BEARER_PREFIX = "Bearer "
ANONYMOUS = "anonymous"


class Actor(msgspec.Struct, frozen=True):
    """Represent an authenticated operator and their role."""

    name: str
    role: Role


class Authenticator:
    """Authenticate requests by their bearer token."""

    __slots__ = ("tokens",)

    def __init__(self, tokens: list[TokenSettings]) -> None:
        self.tokens = tokens

    def authenticate(self, environ: Environ) -> Result[Actor, Response]:
        """Return the actor, or a 401 response.

        The response is for a missing or unknown token. When no token is
        configured, every caller is an anonymous operator.
        """
        if not self.tokens:
            return Success(Actor(ANONYMOUS, Role.OPERATE))
        header = environ.get("HTTP_AUTHORIZATION", "")
        if not header.startswith(BEARER_PREFIX):
            return Failure(_unauthorized("a bearer token is required"))
        given = header.removeprefix(BEARER_PREFIX).strip().encode()
        for known in self.tokens:
            if hmac.compare_digest(given, known.token.encode()):
                return Success(Actor(known.name, known.role))
        return Failure(_unauthorized("the bearer token is not known"))


def check_is_operator(actor: Actor) -> Response | None:
    """Return a 403 response unless the actor is an operator."""
    if actor.role is Role.OPERATE:
        return None
    return problem_response(403, f"{actor.name} has the role view, not operate")


def _unauthorized(detail: str) -> Response:
    return problem_response(401, detail, headers=[("WWW-Authenticate", "Bearer")])
