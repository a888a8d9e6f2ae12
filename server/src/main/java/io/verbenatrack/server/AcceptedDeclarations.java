package io.verbenatrack.server;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;

import jakarta.inject.Qualifier;

/**
 * Qualifies the declarations that this replica has applied from the control log, whether
 * or not the configuration lease of this instance has picked them up.
 */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
@interface AcceptedDeclarations {

}
