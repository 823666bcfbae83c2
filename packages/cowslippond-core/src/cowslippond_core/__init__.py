"""Coordination parts of a load balancer whose nodes act together."""

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
from cowslippond_core._dynamo import DynamoTable as DynamoTable
from cowslippond_core._findings import Finding as Finding
from cowslippond_core._findings import Place as Place
from cowslippond_core._findings import format_finding as format_finding
from cowslippond_core._messages import CallAnswer as CallAnswer
from cowslippond_core._messages import CallRefusal as CallRefusal
from cowslippond_core._messages import CallRequest as CallRequest
from cowslippond_core._messages import HeaderList as HeaderList
from cowslippond_core._messages import Outcome as Outcome
from cowslippond_core._messages import (
    TruncatedAnswerError as TruncatedAnswerError,
)
from cowslippond_core._reasons import RefusalReason as RefusalReason
from cowslippond_core._reasons import RetryReason as RetryReason
from cowslippond_core._sender import Sender as Sender
from cowslippond_core._service_state import ServiceState as ServiceState
from cowslippond_core._table import Condition as Condition
from cowslippond_core._table import ItemKey as ItemKey
from cowslippond_core._table import Put as Put
from cowslippond_core._table import Table as Table
from cowslippond_core._table import TableError as TableError
from cowslippond_core._table import TableFault as TableFault
from cowslippond_core._upstreams import Upstream as Upstream
from cowslippond_core._upstreams import UpstreamSet as UpstreamSet
from cowslippond_core._vm_list import ENTRY_SERVICE as ENTRY_SERVICE
from cowslippond_core._vm_list import Vm as Vm
from cowslippond_core._vm_list import VmState as VmState
from cowslippond_core._vm_list import fetch_vms as fetch_vms
from cowslippond_core._vm_list import read_vms as read_vms
