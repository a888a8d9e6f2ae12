package io.verbenatrack.server;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;

import jakarta.inject.Qualifier;

/**
 * Marks the declarations that this replica applied from the log, in force or not.
 */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
@interface AcceptedDeclarations {

}
