/**
 * Strict parsing and validation of settings, declarations and work files.
 */
package io.verbenatrack.settings;
