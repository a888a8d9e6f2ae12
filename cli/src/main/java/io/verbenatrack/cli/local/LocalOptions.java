package io.verbenatrack.cli.local;

import java.nio.file.Path;
import java.util.Optional;

/**
 * What a local run needs.
 *
 * @param settings the settings file of the instance
 * @param work the work file
 * @param declarations the folder of declarations
 * @param data the data folder, a temporary one when absent
 * @param json where the figures are written, if anywhere
 */
public record LocalOptions(Path settings, Path work, Path declarations, Optional<Path> data, Optional<Path> json) {

}
