/**
 * Leases on the configuration in force: how replicas grant them and instances renew them.
 */
package io.verbenatrack.control.configuration;
