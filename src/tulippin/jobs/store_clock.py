"""The store's steady clock, as an instance reads it from answers.

Times that outlast an owner are stored by this clock, as the clocks of two
instances have nothing in common.
"""

from __future__ import annotations

import typing as t

import attrs

# A reading with a wider interval replaces an earlier one after this time, as
# clocks drift.
_MAX_READING_AGE_MS: t.Final = 10_000


@attrs.frozen
class ClockReading:
    """The store's time in an answer, and when its call was open.

    Parameters
    ----------
    store_ms : int
        The store's time, or 0 if the answer has none.
    sent_ms, received_ms : int
        When the call was sent and answered, by the instance's clock.
    """

    store_ms: int
    sent_ms: int
    received_ms: int


@attrs.define
class StoreClock:
    """Bounds of the store's time, which no answer tells exactly.

    The store has read its clock at some moment between the request and the
    answer.
    """

    _reading: ClockReading | None = None

    def note(self, reading: ClockReading) -> None:
        """Use a reading, if it is more exact or much newer than the last."""
        if not reading.store_ms:
            return
        known = self._reading
        if (
            known is None
            or _get_width_ms(reading) <= _get_width_ms(known)
            or reading.received_ms - known.received_ms > _MAX_READING_AGE_MS
        ):
            self._reading = reading

    @property
    def is_known(self) -> bool:
        """Whether any answer has told the store's time."""
        return self._reading is not None

    def get_latest_store_ms(self, at_ms: int) -> int:
        """Return the store's latest possible time at a time of the instance.

        Raises
        ------
        ValueError
            If no answer has told the store's time.
        """
        reading = self._get_reading()
        return at_ms - reading.sent_ms + reading.store_ms

    def get_earliest_store_ms(self, at_ms: int) -> int:
        """Return the store's earliest possible time at one of the instance.

        Raises
        ------
        ValueError
            If no answer has told the store's time.
        """
        reading = self._get_reading()
        return at_ms - reading.received_ms + reading.store_ms

    def get_latest_instance_ms(self, store_ms: int) -> int:
        """Return the instance's latest possible time at one of the store.

        Raises
        ------
        ValueError
            If no answer has told the store's time.
        """
        reading = self._get_reading()
        return store_ms - reading.store_ms + reading.received_ms

    def _get_reading(self) -> ClockReading:
        if self._reading is None:
            raise ValueError('the store has not told its time')
        return self._reading


def _get_width_ms(reading: ClockReading) -> int:
    return reading.received_ms - reading.sent_ms
