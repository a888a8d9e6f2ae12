/**
 * Strict reading of settings, declarations and work files.
 */
package io.verbenatrack.settings;
