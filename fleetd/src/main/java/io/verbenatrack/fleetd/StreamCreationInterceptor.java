package io.verbenatrack.fleetd;

import io.grpc.Attributes;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;

/**
 * Reports when the stream of a call is created on a connection. A call that fails earlier
 * cannot have reached the server, so its caller can safely be told that it had no effect.
 */
final class StreamCreationInterceptor implements ClientInterceptor {

	private final Runnable onStreamCreated;

	/**
	 * Creates an interceptor for one call.
	 * @param onStreamCreated runs immediately before the call can be sent
	 */
	StreamCreationInterceptor(Runnable onStreamCreated) {
		this.onStreamCreated = onStreamCreated;
	}

	@Override
	public <Q, A> ClientCall<Q, A> interceptCall(MethodDescriptor<Q, A> method, CallOptions options, Channel next) {
		return next.newCall(method, options.withStreamTracerFactory(new ClientStreamTracer.Factory() {

			@Override
			public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
				return new StreamCreationTracer();
			}

		}));
	}

	private final class StreamCreationTracer extends ClientStreamTracer {

		@Override
		public void streamCreated(Attributes transport, Metadata headers) {
			StreamCreationInterceptor.this.onStreamCreated.run();
		}

	}

}
