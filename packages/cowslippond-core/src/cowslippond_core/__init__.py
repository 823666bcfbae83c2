"""Coordination parts of a load balancer whose nodes act together."""

from cowslippond_core._apply_errors import ApplyError as ApplyError
from cowslippond_core._apply_errors import ApplyFault as ApplyFault
from cowslippond_core._baselines import make_policy as make_policy
from cowslippond_core._budgets import BudgetSettings as BudgetSettings
from cowslippond_core._budgets import ShareBudget as ShareBudget
from cowslippond_core._budgets import is_first_attempt as is_first_attempt
from cowslippond_core._call_identity import CallIdentity as CallIdentity
from cowslippond_core._catalogue import FRESHNESS_BOUND as FRESHNESS_BOUND
from cowslippond_core._catalogue import Catalogue as Catalogue
from cowslippond_core._catalogue import DocumentReader as DocumentReader
from cowslippond_core._catalogue import InForce as InForce
from cowslippond_core._catalogue_layout import CatalogueRow as CatalogueRow
from cowslippond_core._catalogue_reader import (
    read_change_rows as read_change_rows,
)
from cowslippond_core._catalogue_reader import read_changes as read_changes
from cowslippond_core._catalogue_reader import read_documents as read_documents
from cowslippond_core._catalogue_reader import read_head as read_head
from cowslippond_core._catalogue_reader import (
    read_newest_document as read_newest_document,
)
from cowslippond_core._catalogue_writer import (
    accept_document as accept_document,
)
from cowslippond_core._claim import Claim as Claim
from cowslippond_core._claim import RecordedAnswer as RecordedAnswer
from cowslippond_core._claim_backlog import ClaimBacklog as ClaimBacklog
from cowslippond_core._claim_ends import CallEnd as CallEnd
from cowslippond_core._claim_flow import ClaimFlow as ClaimFlow
from cowslippond_core._claims import Claims as Claims
from cowslippond_core._claims import ClaimSettings as ClaimSettings
from cowslippond_core._clock import Clock as Clock
from cowslippond_core._clock import Millis as Millis
from cowslippond_core._clock import seconds_of as seconds_of
from cowslippond_core._document import AcceptedDocument as AcceptedDocument
from cowslippond_core._document import DeadlinePolicy as DeadlinePolicy
from cowslippond_core._document import HedgePolicy as HedgePolicy
from cowslippond_core._document import LimitPolicy as LimitPolicy
from cowslippond_core._document import MeasuringBudget as MeasuringBudget
from cowslippond_core._document import NeverRepeat as NeverRepeat
from cowslippond_core._document import Priority as Priority
from cowslippond_core._document import RetirementPolicy as RetirementPolicy
from cowslippond_core._document import RetryBudget as RetryBudget
from cowslippond_core._document import RouteMatch as RouteMatch
from cowslippond_core._document import ServiceDocument as ServiceDocument
from cowslippond_core._document import UpstreamCapacity as UpstreamCapacity
from cowslippond_core._document_fields import DOCUMENT_SPEC as DOCUMENT_SPEC
from cowslippond_core._document_reader import read_document as read_document
from cowslippond_core._dynamo import DynamoTable as DynamoTable
from cowslippond_core._field_reader import FieldSource as FieldSource
from cowslippond_core._field_reader import read_fields as read_fields
from cowslippond_core._field_rows import FieldRow as FieldRow
from cowslippond_core._field_rows import list_fields as list_fields
from cowslippond_core._field_rows import markdown_rows as markdown_rows
from cowslippond_core._findings import Finding as Finding
from cowslippond_core._findings import Place as Place
from cowslippond_core._findings import format_finding as format_finding
from cowslippond_core._fingerprint import (
    FINGERPRINT_BODY_BYTES as FINGERPRINT_BODY_BYTES,
)
from cowslippond_core._fingerprint import (
    fingerprint_request as fingerprint_request,
)
from cowslippond_core._gossip_table import GossipRow as GossipRow
from cowslippond_core._gossip_table import GossipTable as GossipTable
from cowslippond_core._leaving import Leaving as Leaving
from cowslippond_core._leaving import LeavingSource as LeavingSource
from cowslippond_core._measuring import MeasuringAllowance as MeasuringAllowance
from cowslippond_core._measuring import budget_of as budget_of
from cowslippond_core._membership import Daemon as Daemon
from cowslippond_core._messages import AnswerChunks as AnswerChunks
from cowslippond_core._messages import CallAnswer as CallAnswer
from cowslippond_core._messages import CallRefusal as CallRefusal
from cowslippond_core._messages import CallRequest as CallRequest
from cowslippond_core._messages import HeaderList as HeaderList
from cowslippond_core._messages import Outcome as Outcome
from cowslippond_core._messages import (
    TruncatedAnswerError as TruncatedAnswerError,
)
from cowslippond_core._metrics import Metric as Metric
from cowslippond_core._metrics import Metrics as Metrics
from cowslippond_core._metrics import refusal_name as refusal_name
from cowslippond_core._metrics import retry_name as retry_name
from cowslippond_core._objects import ObjectError as ObjectError
from cowslippond_core._objects import ObjectFault as ObjectFault
from cowslippond_core._objects import ObjectStore as ObjectStore
from cowslippond_core._objects import S3ObjectStore as S3ObjectStore
from cowslippond_core._quarantine import Quarantine as Quarantine
from cowslippond_core._quarantine_gossip import (
    share_quarantine as share_quarantine,
)
from cowslippond_core._reasons import RefusalReason as RefusalReason
from cowslippond_core._reasons import RetryReason as RetryReason
from cowslippond_core._route_overlap import Overlap as Overlap
from cowslippond_core._route_overlap import find_overlaps as find_overlaps
from cowslippond_core._sender import Sender as Sender
from cowslippond_core._service_state import ServiceState as ServiceState
from cowslippond_core._settings import LogSettings as LogSettings
from cowslippond_core._settings import PlatformSettings as PlatformSettings
from cowslippond_core._settings import RetireSettings as RetireSettings
from cowslippond_core._settings import Settings as Settings
from cowslippond_core._settings import read_settings as read_settings
from cowslippond_core._settings_fields import (
    KEEP_ALIVE_MARGIN_MS as KEEP_ALIVE_MARGIN_MS,
)
from cowslippond_core._settings_fields import PLATFORM_SPEC as PLATFORM_SPEC
from cowslippond_core._settings_fields import SETTINGS_SPEC as SETTINGS_SPEC
from cowslippond_core._settings_fields import report_nothing as report_nothing
from cowslippond_core._spread import Spread as Spread
from cowslippond_core._spread import SpreadSettings as SpreadSettings
from cowslippond_core._spread import SpreadStatus as SpreadStatus
from cowslippond_core._suspects import CrashMark as CrashMark
from cowslippond_core._suspects import NewsKind as NewsKind
from cowslippond_core._suspects import Suspect as Suspect
from cowslippond_core._suspects import SuspectNews as SuspectNews
from cowslippond_core._table import Condition as Condition
from cowslippond_core._table import ItemKey as ItemKey
from cowslippond_core._table import Put as Put
from cowslippond_core._table import Table as Table
from cowslippond_core._table import TableError as TableError
from cowslippond_core._table import TableFault as TableFault
from cowslippond_core._text_file import read_text_file as read_text_file
from cowslippond_core._upstreams import Upstream as Upstream
from cowslippond_core._upstreams import UpstreamSet as UpstreamSet
from cowslippond_core._vm_list import ENTRY_SERVICE as ENTRY_SERVICE
from cowslippond_core._vm_list import Vm as Vm
from cowslippond_core._vm_list import VmState as VmState
from cowslippond_core._vm_list import fetch_vms as fetch_vms
from cowslippond_core._vm_list import read_vms as read_vms
