/**
 * Value types, shapes, sealed results and declarations.
 */
package io.verbenatrack.model;
