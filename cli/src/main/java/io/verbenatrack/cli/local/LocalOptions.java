package io.verbenatrack.cli.local;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The options of a local run.
 *
 * @param settings the settings file of the instance
 * @param work the work file
 * @param declarations the directory of declarations
 * @param data the data directory; a temporary one is used when absent
 * @param json the file for the figures; none is written when absent
 */
public record LocalOptions(Path settings, Path work, Path declarations, Optional<Path> data, Optional<Path> json) {

}
