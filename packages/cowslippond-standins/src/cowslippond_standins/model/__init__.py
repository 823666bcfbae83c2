"""A discrete-event simulation of a service under load.

The placement, hedging and admission code is the real one; the machines, the
network and the clock are simulated. Minutes of load take seconds to run, and
runs with the same seed give the same results.
"""

from cowslippond_standins.model._joining import JoiningFigures as JoiningFigures
from cowslippond_standins.model._joining import JoiningPlan as JoiningPlan
from cowslippond_standins.model._joining import (
    simulate_joining as simulate_joining,
)
from cowslippond_standins.model._load import Load as Load
from cowslippond_standins.model._load import Outcome as Outcome
from cowslippond_standins.model._load import Tally as Tally
from cowslippond_standins.model._partition import (
    PartitionFigures as PartitionFigures,
)
from cowslippond_standins.model._partition import PartitionPlan as PartitionPlan
from cowslippond_standins.model._partition import (
    simulate_partition as simulate_partition,
)
from cowslippond_standins.model._reader_loss import ReaderCut as ReaderCut
from cowslippond_standins.model._reader_loss import (
    ReaderLossFigures as ReaderLossFigures,
)
from cowslippond_standins.model._reader_loss import (
    simulate_reader_loss as simulate_reader_loss,
)
from cowslippond_standins.model._reading import (
    ReadingFigures as ReadingFigures,
)
from cowslippond_standins.model._reading import ReadingPlan as ReadingPlan
from cowslippond_standins.model._reading import (
    simulate_reading as simulate_reading,
)
from cowslippond_standins.model._simulation import simulate as simulate
