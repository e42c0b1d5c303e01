"""Messages, documents, settings, clocks and errors shared by every lycheescale package."""
