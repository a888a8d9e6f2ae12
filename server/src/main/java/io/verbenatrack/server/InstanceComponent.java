package io.verbenatrack.server;

import dagger.BindsInstance;
import dagger.Component;

import io.verbenatrack.model.Closer;
import io.verbenatrack.settings.InstanceSettings;

/**
 * The object graph of an instance.
 */
@InstanceScope
@Component(modules = { PlatformModule.class, ControlModule.class, ConfigurationModule.class, RoutingModule.class,
		HttpModule.class })
interface InstanceComponent {

	/**
	 * What listens on the network.
	 * @return the listeners, not started
	 */
	Listeners listeners();

	/**
	 * How the service ends.
	 * @return the graceful shutdown
	 */
	GracefulShutdown shutdown();

	/** Builds the graph. */
	@Component.Factory
	interface Factory {

		/**
		 * Builds the graph.
		 * @param settings the settings of the instance
		 * @param closer takes over what must be closed
		 * @return the graph
		 */
		InstanceComponent create(@BindsInstance InstanceSettings settings, @BindsInstance Closer closer);

	}

}
