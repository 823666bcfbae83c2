"""A model of the servers that are balanced, played in simulated time.

Real placing decisions, modelled machines: minutes of load are played in seconds
and every run with the same seed is the same.
"""

from cowslippond_standins.model._load import Load as Load
from cowslippond_standins.model._load import Outcome as Outcome
from cowslippond_standins.model._load import Tally as Tally
from cowslippond_standins.model._simulation import simulate as simulate
