"""Quotas of workspaces, which apply to all daemons together."""

from cowslippond_core.quotas._bounds import QuotaBounds as QuotaBounds
from cowslippond_core.quotas._datagrams import QuotaDatagrams as QuotaDatagrams
from cowslippond_core.quotas._gate import QuotaGate as QuotaGate
from cowslippond_core.quotas._limiter import QuotaLimiter as QuotaLimiter
from cowslippond_core.quotas._limiter import QuotaRefusal as QuotaRefusal
from cowslippond_core.quotas._messages import QuotaAnswer as QuotaAnswer
from cowslippond_core.quotas._messages import QuotaMessage as QuotaMessage
from cowslippond_core.quotas._messages import QuotaRequest as QuotaRequest
from cowslippond_core.quotas._messages import QuotaReturn as QuotaReturn
from cowslippond_core.quotas._participants import QUOTA_TABLE as QUOTA_TABLE
from cowslippond_core.quotas._participants import (
    QuotaParticipants as QuotaParticipants,
)
from cowslippond_core.quotas._workspace_use import Token as Token
from cowslippond_core.quotas._workspace_use import UseFigures as UseFigures
