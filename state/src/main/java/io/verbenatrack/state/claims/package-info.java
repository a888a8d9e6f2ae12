/**
 * Claims on requests that are not idempotent, and the answers stored for their retries.
 */
package io.verbenatrack.state.claims;
