package io.verbenatrack.server;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;

import jakarta.inject.Scope;

/**
 * Scopes a binding to one object for each instance.
 */
@Scope
@Retention(RetentionPolicy.RUNTIME)
public @interface InstanceScope {

}
