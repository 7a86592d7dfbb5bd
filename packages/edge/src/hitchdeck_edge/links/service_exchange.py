"""What a box and its scheduler tell each other of plain services."""

from hitchdeck_core.wire.spread_pb2 import PlacedFrame, PlacingFrame
from hitchdeck_edge.links.service_messages import decode_states, encode_reports
from hitchdeck_edge.scheduling.service_calls import ServiceCalls
from hitchdeck_edge.scheduling.service_view import ServiceView


class ServiceExchange:
    """A box's reports on its calls, and the scheduler's summary of all boxes' calls.

    Reports are added to frames that are sent anyway, several a second for requests to
    engines.  Only a lost call, or a response of a silent upstream, causes a frame.
    """

    def __init__(self, calls: ServiceCalls, view: ServiceView) -> None:
        self.calls = calls
        self.view = view

    def begin_stream(self) -> None:
        """Report everything to a new scheduler, and drop the summary of the last one.

        Until then the last summary is used as long as it is recent.
        """
        self.calls.begin_stream(self.view.silent_since)
        self.view.clear()
        self.view.connected = True

    def end_stream(self) -> None:
        """Use the summary only as long as it is recent, as the scheduler is lost."""
        self.view.connected = False

    def add_reports(self, frame: PlacingFrame) -> None:
        """Add what is new to a frame to the scheduler."""
        frame.services.extend(encode_reports(self.calls.take_reports()))

    def apply(self, frame: PlacedFrame) -> None:
        """Apply what the scheduler sent."""
        self.view.update(decode_states(frame.services))
