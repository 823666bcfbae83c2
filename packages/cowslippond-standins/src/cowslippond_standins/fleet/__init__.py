"""Stand-ins of the users' platform and back ends, for tests with real daemons.

The store and the back ends run in the test's own process, so that the test can
inspect every request that they receive. They implement the formats that the
users publish; no software of the users runs.
"""

from cowslippond_standins.fleet._backend import Backend as Backend
from cowslippond_standins.fleet._backend import Run as Run
from cowslippond_standins.fleet._caller import Caller as Caller
from cowslippond_standins.fleet._caller import CallResult as CallResult
from cowslippond_standins.fleet._caller import Verdict as Verdict
from cowslippond_standins.fleet._deployment import DOMAINS as DOMAINS
from cowslippond_standins.fleet._deployment import (
    FleetDeployment as FleetDeployment,
)
from cowslippond_standins.fleet._deployment import Node as Node
from cowslippond_standins.fleet._deployment import route as route
from cowslippond_standins.fleet._deployment import workspace as workspace
from cowslippond_standins.fleet._store_app import StoreApp as StoreApp
from cowslippond_standins.fleet._upload_backend import Received as Received
from cowslippond_standins.fleet._upload_backend import (
    UploadBackend as UploadBackend,
)
from cowslippond_standins.fleet._upload_caller import Upload as Upload
from cowslippond_standins.fleet._upload_caller import (
    UploadCaller as UploadCaller,
)
from cowslippond_standins.fleet._upload_caller import (
    UploadResponse as UploadResponse,
)
from cowslippond_standins.fleet._upload_caller import send_upload as send_upload
from cowslippond_standins.fleet._upload_caller import (
    upload_route as upload_route,
)
