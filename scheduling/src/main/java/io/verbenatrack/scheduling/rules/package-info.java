/**
 * The rules of scheduling, one a class, named for what it decides.
 */
package io.verbenatrack.scheduling.rules;
