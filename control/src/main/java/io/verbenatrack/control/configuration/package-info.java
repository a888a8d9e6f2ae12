/**
 * Leases on the current configuration, which replicas grant and instances renew.
 */
package io.verbenatrack.control.configuration;
