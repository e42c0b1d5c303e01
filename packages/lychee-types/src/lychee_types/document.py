"""The operators' document: services, rules for backend servers, and pinned keys."""

from enum import Enum

from msgspec import Struct

from lychee_types.ids import DomainName, ServerId, ServiceName


class RequestKind(Enum):
    """Whether a request must go to the owner of its key."""

    KEYED = "keyed"
    FREE = "free"


class BodyMode(Enum):
    """Whether a response is buffered and checked before it is forwarded, or streamed."""

    WHOLE = "whole"
    STREAMED = "streamed"


class PlacementPolicy(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a service balances even load against moved keys and unavailable time.

    :param lost_after_ms: time without an announcement after which a backend server's keys move.
    :param settle_ms: delay after a server joins before keys move to it, so that joins are batched.
    :param rejoin_ms: delay before keys move back to a server that was lost and returned.
    :param speed_change: relative change of a measured speed below which no key moves.
    :param bounded_load: maximum ratio of a server's keys to its fair share by speed.
    :param hot_keys: how many hot keys may be placed individually; 0 disables it.
    """

    lost_after_ms: int = 1_000
    settle_ms: int = 500
    rejoin_ms: int = 2_000
    speed_change: float = 0.3
    bounded_load: float = 1.1
    hot_keys: int = 10


class Service(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One service.

    :param name: the name that backend servers announce.
    :param path: URL prefix with a slash at both ends; for keyed services the next path segment
        is the key, percent-decoded to raw bytes.
    :param kind: keyed or free.
    :param idempotent: whether a request may be run more than once.
    :param body: whole (buffered) or streamed responses.
    :param deadline_ms: time for a request, from its arrival at the gateway to its complete
        response. For a streamed response it bounds the time to the header and each pause after it.
    :param shards: number of hash ranges of a keyed service, a power of two.
    :param checks_tokens: whether the service's backend servers reject an outdated fencing token.
    :param max_request_bytes: maximum size of a request body.
    :param max_response_bytes: maximum size of a response body that is not streamed.
    :param queue: how many requests may wait at one gateway.
    :param retry_share: maximum ratio of retries to requests over the last ten seconds.
    :param placement: how keys are placed.
    """

    name: ServiceName
    path: str
    kind: RequestKind
    idempotent: bool
    deadline_ms: int
    body: BodyMode = BodyMode.WHOLE
    shards: int = 1_024
    checks_tokens: bool = False
    max_request_bytes: int = 1_048_576
    max_response_bytes: int = 4_194_304
    queue: int = 256
    retry_share: float = 0.1
    placement: PlacementPolicy = PlacementPolicy()


class ServerRule(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Operators' settings for one backend server.

    :param id: the server's id.
    :param checks_tokens: overrides the service's setting; None for no override.
    :param leaving: whether the server gets no new work and its keys move to others.
    """

    id: ServerId
    checks_tokens: bool | None = None
    leaving: bool = False


class KeyPin(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A key that operators assign to one backend server for as long as that server is available.

    :param service: a keyed service.
    :param key: the key as text; its UTF-8 bytes are hashed.
    :param server: the server's id.
    """

    service: ServiceName
    key: str
    server: ServerId


class Document(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The complete configuration, accepted or rejected as a whole.

    :param organisation: the organisation that runs the deployment.
    :param domains: the failure domains in use.
    :param services: all services.
    :param servers: rules for individual backend servers; the others follow their service.
    :param pins: keys assigned to specific servers.
    """

    organisation: str
    domains: tuple[DomainName, ...]
    services: tuple[Service, ...]
    servers: tuple[ServerRule, ...] = ()
    pins: tuple[KeyPin, ...] = ()

    def service(self, name: ServiceName) -> Service | None:
        """Return the service with a name, or None."""
        return next((service for service in self.services if service.name == name), None)

    def rule(self, server: ServerId) -> ServerRule | None:
        """Return the rule for a server, or None."""
        return next((rule for rule in self.servers if rule.id == server), None)

    def checks_tokens(self, service: ServiceName, server: ServerId) -> bool:
        """Return whether a server rejects an outdated fencing token.

        The server's rule takes precedence over its service; False if neither is known.
        """
        rule = self.rule(server)
        if rule is not None and rule.checks_tokens is not None:
            return rule.checks_tokens
        found = self.service(service)
        return found is not None and found.checks_tokens

    def is_leaving(self, server: ServerId) -> bool:
        """Return whether operators have marked a server as leaving."""
        rule = self.rule(server)
        return rule is not None and rule.leaving
