"""Record a trace span for each hop of a request, as lines of JSON."""

import json

from opentelemetry import propagate
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry import trace

HOPS = ('caller', 'gateway', 'scheduler', 'prefill', 'transfer', 'decode')
"""Names of the spans that make up the trace of a model request."""


class FileExporter(export.SpanExporter):
    """Appends each finished span to a file as one line of JSON.

    Examples
    --------
    >>> FileExporter('/dev/null').close()
    """

    def __init__(self, path):
        self._file = open(path, 'a', encoding='utf-8')  # noqa: SIM115

    def export(self, spans):
        """Append finished spans to the file."""
        for span in spans:
            self._file.write(json.dumps(_to_line(span)) + '\n')
        self._file.flush()
        return export.SpanExportResult.SUCCESS

    def close(self):
        """Close the file."""
        self._file.close()

    def shutdown(self):
        """Close the file; the OpenTelemetry SDK calls this method."""
        self.close()


class Tracer:
    """Starts spans and encodes their context as W3C ``traceparent`` values.

    Parameters
    ----------
    vm : str
        Name of the VM, set as attribute ``vm`` of every span.
    path : str
        File that finished spans are appended to; empty disables tracing.

    Examples
    --------
    >>> tracer = Tracer(vm='vm1', path='')
    >>> with tracer.span('gateway') as span:
    ...     header = tracer.traceparent_of(span)
    >>> header
    ''
    """

    def __init__(self, *, vm, path):
        self._vm = vm
        self._provider = None
        self._tracer = trace.NoOpTracer()
        if path:
            self._provider = sdk_trace.TracerProvider()
            self._provider.add_span_processor(
                export.SimpleSpanProcessor(FileExporter(path))
            )
            self._tracer = self._provider.get_tracer('bluebellthread')

    def span(self, hop, *, parent='', **attributes):
        """Return a context manager that starts and yields the span of a hop.

        Parameters
        ----------
        hop : str
            Name of the span, one of `HOPS`.
        parent : str
            ``traceparent`` value of the parent span; empty starts a new trace.
        """
        context = propagate.extract({'traceparent': parent})
        return self._tracer.start_as_current_span(
            hop, context=context, attributes={'vm': self._vm, **attributes}
        )

    def traceparent_of(self, span):
        """Return the ``traceparent`` value that makes a span the parent."""
        carrier = {}
        propagate.inject(carrier, context=trace.set_span_in_context(span))
        return carrier.get('traceparent', '')

    def close(self):
        """Write the remaining spans and close the file."""
        if self._provider is not None:
            self._provider.shutdown()


def _to_line(span):
    context = span.get_span_context()
    return {
        'trace_id': f'{context.trace_id:032x}',
        'span_id': f'{context.span_id:016x}',
        'parent_id': f'{span.parent.span_id:016x}' if span.parent else '',
        'hop': span.name,
        'start_ns': span.start_time,
        'end_ns': span.end_time,
        'attributes': dict(span.attributes or {}),
    }
