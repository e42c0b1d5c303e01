"""Where requests begin and end in the bytes of a carried connection."""

import httptools


class CarriedRequests:
    """Follows the requests on one connection, of which nothing but their ends is kept.

    Bytes that are no HTTP/1.1, or ask for another protocol, are no longer followed.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._is_followed = True
        self._is_within = False

    @property
    def is_within(self) -> bool:
        """Whether the next byte is known to belong to a request of which some have come."""
        return self._is_followed and self._is_within

    def feed(self, data: bytes) -> None:
        """Take the next bytes."""
        if not self._is_followed:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_followed = False

    def on_message_begin(self) -> None:
        """Note the first byte of a request; the parser calls it."""
        self._is_within = True

    def on_message_complete(self) -> None:
        """Note the last byte of a request; the parser calls it."""
        self._is_within = False
