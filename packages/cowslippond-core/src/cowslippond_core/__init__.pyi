"""Core of a load balancer whose nodes coordinate with each other."""

from ._apply_errors import ApplyError as ApplyError
from ._apply_errors import ApplyFault as ApplyFault
from ._attempt import AnswerLost as AnswerLost
from ._baselines import make_policy as make_policy
from ._beacon_sender import BeaconSender as BeaconSender
from ._budgets import BudgetSettings as BudgetSettings
from ._budgets import RatioBudget as RatioBudget
from ._budgets import is_first_attempt as is_first_attempt
from ._call_identity import CallIdentity as CallIdentity
from ._call_results import CallResult as CallResult
from ._catalogue import FRESHNESS_BOUND as FRESHNESS_BOUND
from ._catalogue import Catalogue as Catalogue
from ._catalogue import DocumentReader as DocumentReader
from ._catalogue import InForce as InForce
from ._catalogue_layout import CatalogueRow as CatalogueRow
from ._catalogue_reader import (
    read_change_rows as read_change_rows,
)
from ._catalogue_reader import read_changes as read_changes
from ._catalogue_reader import read_documents as read_documents
from ._catalogue_reader import read_head as read_head
from ._catalogue_reader import (
    read_newest_document as read_newest_document,
)
from ._catalogue_writer import (
    accept_document as accept_document,
)
from ._claim import Claim as Claim
from ._claim import RecordedAnswer as RecordedAnswer
from ._claim_backlog import ClaimBacklog as ClaimBacklog
from ._claim_flow import ClaimFlow as ClaimFlow
from ._claims import Claims as Claims
from ._claims import ClaimSettings as ClaimSettings
from ._clock import Clock as Clock
from ._clock import Millis as Millis
from ._clock import seconds_of as seconds_of
from ._configuration import CallerLimits as CallerLimits
from ._configuration import Configuration as Configuration
from ._configuration import Route as Route
from ._configuration import RouteTable as RouteTable
from ._configuration import ServiceEntry as ServiceEntry
from ._configuration import WeightedRoundRobin as WeightedRoundRobin
from ._configuration import WeightedService as WeightedService
from ._configuration_log import CONFIGURATION_KEY as CONFIGURATION_KEY
from ._configuration_log import ConfigurationLog as ConfigurationLog
from ._connections import Connections as Connections
from ._dialect import AnswerMetadata as AnswerMetadata
from ._dialect import DefaultDialect as DefaultDialect
from ._dialect import Dialect as Dialect
from ._dialect import LoadReport as LoadReport
from ._dialect import NotRunReason as NotRunReason
from ._dialect import SendMetadata as SendMetadata
from ._document import AcceptedDocument as AcceptedDocument
from ._document import DeadlinePolicy as DeadlinePolicy
from ._document import HedgePolicy as HedgePolicy
from ._document import LimitPolicy as LimitPolicy
from ._document import MeasuringBudget as MeasuringBudget
from ._document import NeverRepeat as NeverRepeat
from ._document import Priority as Priority
from ._document import RetirementPolicy as RetirementPolicy
from ._document import RetryBudget as RetryBudget
from ._document import RouteMatch as RouteMatch
from ._document import ServiceDocument as ServiceDocument
from ._document import UpstreamCapacity as UpstreamCapacity
from ._document_fields import DOCUMENT_SPEC as DOCUMENT_SPEC
from ._document_reader import read_document as read_document
from ._dynamo import DynamoTable as DynamoTable
from ._field_reader import FieldSource as FieldSource
from ._field_reader import read_fields as read_fields
from ._field_rows import FieldRow as FieldRow
from ._field_rows import list_fields as list_fields
from ._field_rows import markdown_rows as markdown_rows
from ._findings import Finding as Finding
from ._findings import Location as Location
from ._findings import format_finding as format_finding
from ._fingerprint import (
    FINGERPRINT_BODY_BYTES as FINGERPRINT_BODY_BYTES,
)
from ._fingerprint import (
    fingerprint_request as fingerprint_request,
)
from ._fleet import Fleet as Fleet
from ._fleet import FleetSettings as FleetSettings
from ._gossip_table import GossipRow as GossipRow
from ._gossip_table import GossipTable as GossipTable
from ._hooks import SendingHooks as SendingHooks
from ._http_calls import HttpCalls as HttpCalls
from ._isolation import run_contained as run_contained
from ._isolation import run_restarting as run_restarting
from ._json_codec import JsonCodec as JsonCodec
from ._leaving import LeavingMarks as LeavingMarks
from ._leaving import LeavingSource as LeavingSource
from ._lost_reports import STORE_LOST_TABLE as STORE_LOST_TABLE
from ._measuring import ProbeBudget as ProbeBudget
from ._measuring import probe_rate_of as probe_rate_of
from ._membership import Daemon as Daemon
from ._messages import AnswerChunks as AnswerChunks
from ._messages import CallAnswer as CallAnswer
from ._messages import CallRefusal as CallRefusal
from ._messages import CallRequest as CallRequest
from ._messages import HeaderList as HeaderList
from ._messages import Outcome as Outcome
from ._messages import (
    TruncatedAnswerError as TruncatedAnswerError,
)
from ._metrics import Metric as Metric
from ._metrics import Metrics as Metrics
from ._metrics import refusal_name as refusal_name
from ._metrics import retry_name as retry_name
from ._objects import ObjectError as ObjectError
from ._objects import ObjectFault as ObjectFault
from ._objects import ObjectStore as ObjectStore
from ._objects import S3ObjectStore as S3ObjectStore
from ._peer_datagrams import PeerDatagrams as PeerDatagrams
from ._plain_log import PlainLog as PlainLog
from ._platform_store import RowSource as RowSource
from ._platform_store import StoreError as StoreError
from ._platform_store import StoreFault as StoreFault
from ._platform_store import StoreRow as StoreRow
from ._platform_store import StoreRows as StoreRows
from ._quarantine import Quarantine as Quarantine
from ._quarantine_gossip import (
    share_quarantine as share_quarantine,
)
from ._reader_beacons import ReaderBeacons as ReaderBeacons
from ._reader_role import STORE_READER_TABLE as STORE_READER_TABLE
from ._reader_role import ReaderRole as ReaderRole
from ._reasons import RefusalReason as RefusalReason
from ._reasons import RetryReason as RetryReason
from ._route_overlap import Overlap as Overlap
from ._route_overlap import find_overlaps as find_overlaps
from ._sender import Sender as Sender
from ._service_state import ServiceState as ServiceState
from ._settings import LogSettings as LogSettings
from ._settings import PlatformSettings as PlatformSettings
from ._settings import RetireSettings as RetireSettings
from ._settings import Settings as Settings
from ._settings import read_settings as read_settings
from ._settings_fields import (
    KEEP_ALIVE_MARGIN_MS as KEEP_ALIVE_MARGIN_MS,
)
from ._settings_fields import PLATFORM_SPEC as PLATFORM_SPEC
from ._settings_fields import SETTINGS_SPEC as SETTINGS_SPEC
from ._settings_fields import report_no_conflicts as report_no_conflicts
from ._spread import Spread as Spread
from ._spread import SpreadSettings as SpreadSettings
from ._spread import SpreadStatus as SpreadStatus
from ._stop_limit import StopLimit as StopLimit
from ._store_era import MAX_ERA as MAX_ERA
from ._store_era import StoreEra as StoreEra
from ._store_era import combine_era as combine_era
from ._store_era import era_of as era_of
from ._store_era import plain_revision as plain_revision
from ._store_watch import StoreWatch as StoreWatch
from ._suspects import CrashMark as CrashMark
from ._suspects import Suspect as Suspect
from ._suspects import SuspectUpdate as SuspectUpdate
from ._suspects import SuspectUpdateKind as SuspectUpdateKind
from ._table import Condition as Condition
from ._table import ItemKey as ItemKey
from ._table import Put as Put
from ._table import Table as Table
from ._table import TableError as TableError
from ._table import TableFault as TableFault
from ._takeover import BeaconTakeover as BeaconTakeover
from ._text_file import read_text_file as read_text_file
from ._upstream_registry import UPSTREAM_ERA_LOG as UPSTREAM_ERA_LOG
from ._upstream_registry import UPSTREAM_LOG as UPSTREAM_LOG
from ._upstream_registry import UpstreamRegistry as UpstreamRegistry
from ._upstreams import Upstream as Upstream
from ._upstreams import UpstreamSet as UpstreamSet
from ._vm import ENTRY_SERVICE as ENTRY_SERVICE
from ._vm import Vm as Vm
from ._vm import VmState as VmState
from ._vm_list import fetch_vms as fetch_vms
from ._vm_list import read_vms as read_vms
from .dispatch import FAILURE_TABLE as FAILURE_TABLE
from .dispatch import Call as Call
from .dispatch import Dispatch as Dispatch
from .dispatch import DispatchContext as DispatchContext
from .dispatch import FleetBounds as FleetBounds
from .dispatch import Services as Services
from .dispatch import SharedFailures as SharedFailures
from .dispatch import SharedRateLimits as SharedRateLimits
from .dispatch import WarmUpBounds as WarmUpBounds
from .dispatch import WarmUps as WarmUps
from .evacuations import EVACUATION_LOG as EVACUATION_LOG
from .evacuations import EVACUATION_PREFIX as EVACUATION_PREFIX
from .evacuations import EvacuationLog as EvacuationLog
from .evacuations import OperatorRows as OperatorRows
