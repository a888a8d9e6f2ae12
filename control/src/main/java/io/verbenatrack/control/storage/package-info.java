/**
 * The files of a replica: its identity, its log and its snapshots.
 */
package io.verbenatrack.control.storage;
