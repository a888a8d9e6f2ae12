/**
 * The scheduler interface: its events, decisions and views.
 */
package io.verbenatrack.scheduling;
