package io.verbenatrack.server;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;

import jakarta.inject.Scope;

/**
 * Marks objects that an instance has one of.
 */
@Scope
@Retention(RetentionPolicy.RUNTIME)
public @interface InstanceScope {

}
