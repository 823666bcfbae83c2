"""Reasons for refusing or resending a call; each has a counter."""

import enum


class RefusalReason(enum.StrEnum):
    """Why the load balancer itself gave the final answer to a call."""

    NO_SERVICE = 'no_service'
    NOT_READY = 'not_ready'
    STALE_CONFIGURATION = 'stale_configuration'
    BAD_REQUEST = 'bad_request'
    DEADLINE = 'deadline'
    QUEUE_FULL = 'queue_full'
    NO_UPSTREAM = 'no_upstream'
    UPSTREAMS_FULL = 'upstreams_full'
    RATE_LIMITED = 'rate_limited'
    UNAUTHENTICATED = 'unauthenticated'
    KEY_REVOKED = 'key_revoked'
    EVACUATED = 'evacuated'
    OUT_OF_REACH = 'out_of_reach'
    CONNECT_FAILED = 'connect_failed'
    ANSWER_LOST = 'answer_lost'
    NO_CALLER = 'no_caller'
    KEY_REUSED = 'key_reused'
    KEY_IN_PROGRESS = 'key_in_progress'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    KEY_OUTCOME_LOST = 'key_outcome_lost'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    QUARANTINED = 'quarantined'
    OVER_QUOTA = 'over_quota'
    HEAD_TOO_LARGE = 'head_too_large'
    HEAD_TIMEOUT = 'head_timeout'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TIMEOUT = 'body_timeout'


class RetryReason(enum.StrEnum):
    """Why a call was sent again, or a hedge was sent."""

    CONNECT_FAILED = 'connect_failed'
    SHED = 'shed'
    DRAINING = 'draining'
    ANSWER_LOST = 'answer_lost'
    SILENT_CONNECTION = 'silent_connection'
    UPSTREAM_ERROR = 'upstream_error'
    HEDGE = 'hedge'
    OTHER_VM = 'other_vm'
