//! Tracing: a span for each hop of a request, linked by W3C `traceparent` and exported by OTLP. The
//! input is the settings and the header of the previous hop; the state is the spans not exported
//! yet.

use std::collections::HashMap;

use eyre::Result;
use eyre::WrapErr;
use hooktrestle_schema::TraceSettings;
use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::Protocol;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::Sampler;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;

/// Header that carries a trace from hop to hop.
pub(crate) const TRACEPARENT: &str = "traceparent";

/// Creates and exports spans. Clones share the exporter; it exports the remaining spans when the
/// last clone is dropped.
#[derive(Clone, Debug)]
pub(crate) struct Traces {
    tracer: SdkTracer,
    provider: SdkTracerProvider,
}

/// The span of one hop of a request. It ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Hop {
    context: Context,
}

impl Traces {
    /// Tracing of a process. Without settings, spans are created to propagate `traceparent`, but
    /// not exported.
    ///
    /// # Errors
    ///
    /// The exporter cannot be set up.
    pub(crate) fn new(settings: Option<&TraceSettings>, instance: &str) -> Result<Traces> {
        let resource = Resource::builder()
            .with_service_name("hooktrestled")
            .with_attribute(KeyValue::new("service.instance.id", instance.to_owned()))
            .build();
        let builder = SdkTracerProvider::builder().with_resource(resource);
        let provider = match settings {
            None => builder.with_sampler(Sampler::AlwaysOff).build(),
            Some(settings) => {
                let exporter = SpanExporter::builder()
                    .with_http()
                    .with_protocol(Protocol::HttpBinary)
                    .with_endpoint(&settings.otlp_url)
                    .build()
                    .wrap_err("[traces] otlp_url")?;
                let fraction = f64::from(settings.sample_percent) / 100.0;
                let sampler = Sampler::TraceIdRatioBased(fraction);
                builder
                    .with_sampler(Sampler::ParentBased(Box::new(sampler)))
                    .with_batch_exporter(exporter)
                    .build()
            }
        };
        Ok(Traces { tracer: provider.tracer("hooktrestled"), provider })
    }

    /// Starts the span of a hop; `traceparent` is that of the previous hop, or empty.
    pub(crate) fn hop(
        &self,
        name: &'static str,
        kind: SpanKind,
        traceparent: &str,
        attributes: Vec<KeyValue>,
    ) -> Hop {
        let carrier = HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]);
        let parent = TraceContextPropagator::new().extract(&carrier);
        let builder = self.tracer.span_builder(name).with_kind(kind).with_attributes(attributes);
        let span = builder.start_with_context(&self.tracer, &parent);
        Hop { context: Context::new().with_span(span) }
    }

    /// Exports the remaining spans. If the collector is down, only these spans are lost.
    pub(crate) fn flush(&self) {
        let _ = self.provider.force_flush();
    }
}

impl Hop {
    /// The `traceparent` header for the next hop.
    pub(crate) fn traceparent(&self) -> String {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.remove(TRACEPARENT).unwrap_or_default()
    }

    /// Adds an attribute that was not known at the start of the span.
    pub(crate) fn add_attribute(&self, key: &'static str, value: String) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }
}
