/**
 * Claims on requests that are not idempotent, and the answers kept for their resends.
 */
package io.verbenatrack.state.claims;
