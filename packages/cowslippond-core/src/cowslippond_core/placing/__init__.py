"""Where and when calls are sent: readings, ratings, queue, refusals."""

from cowslippond_core.placing._ask import Ask as Ask
from cowslippond_core.placing._ask import Grant as Grant
from cowslippond_core.placing._candidates import Fleet as Fleet
from cowslippond_core.placing._pace import Pace as Pace
from cowslippond_core.placing._placer import Placer as Placer
from cowslippond_core.placing._queue import CallQueue as CallQueue
from cowslippond_core.placing._rating import rate as rate
from cowslippond_core.placing._rationing import ReadingRation as ReadingRation
