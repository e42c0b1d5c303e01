"""Messages, documents, settings, clocks and errors that all lycheescale packages share."""
