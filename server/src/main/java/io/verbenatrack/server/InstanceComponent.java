package io.verbenatrack.server;

import dagger.BindsInstance;
import dagger.Component;

import io.verbenatrack.model.Closer;
import io.verbenatrack.settings.InstanceSettings;

/**
 * The Dagger component that builds the object graph of an instance.
 */
@InstanceScope
@Component(modules = { PlatformModule.class, ControlModule.class, ConfigurationModule.class, RoutingModule.class,
		HttpModule.class })
interface InstanceComponent {

	/**
	 * Returns the listeners of the instance.
	 * @return the listeners, not started
	 */
	Listeners listeners();

	/**
	 * Returns the graceful shutdown of the instance.
	 * @return the graceful shutdown
	 */
	GracefulShutdown shutdown();

	/** Builds the graph. */
	@Component.Factory
	interface Factory {

		/**
		 * Builds the graph.
		 * @param settings the settings of the instance
		 * @param closer closes the resources of the graph
		 * @return the graph
		 */
		InstanceComponent create(@BindsInstance InstanceSettings settings, @BindsInstance Closer closer);

	}

}
