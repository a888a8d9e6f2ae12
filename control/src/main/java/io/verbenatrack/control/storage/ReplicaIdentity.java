package io.verbenatrack.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.List;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.InstanceId;

/**
 * Locks a data folder for this process and identifies the replica that it belongs to.
 */
public final class ReplicaIdentity implements AutoCloseable {

	private static final String IDENTITY_FILE = "replica";

	private static final String LOCK_FILE = "lock";

	private final FileChannel lockChannel;

	private final ReplicaId replica;

	private ReplicaIdentity(FileChannel lockChannel, ReplicaId replica) {
		this.lockChannel = lockChannel;
		this.replica = replica;
	}

	/**
	 * Locks a data folder, creating it if it does not exist.
	 * @param folder the data folder
	 * @param instance this instance
	 * @return the identity, which holds the lock until it is closed
	 * @throws IOException if another process holds the lock or the folder belongs to
	 * another instance
	 */
	public static ReplicaIdentity open(Path folder, InstanceId instance) throws IOException {
		Files.createDirectories(folder);
		FileChannel channel = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE,
				StandardOpenOption.WRITE);
		try {
			requireLock(folder, channel);
			return new ReplicaIdentity(channel, readOrCreate(folder, instance));
		}
		catch (IOException ex) {
			channel.close();
			throw ex;
		}
	}

	private static void requireLock(Path folder, FileChannel channel) throws IOException {
		FileLock lock = null;
		try {
			lock = channel.tryLock();
		}
		catch (OverlappingFileLockException ex) {
			lock = null;
		}
		if (lock == null) {
			throw new StorageException("Another process holds the data folder " + folder + ".",
					"Stop it, or give this instance a folder of its own.");
		}
	}

	// Creates a new incarnation even if only the log is missing, because the votes in it
	// are lost too.
	private static ReplicaId readOrCreate(Path folder, InstanceId instance) throws IOException {
		Path file = folder.resolve(IDENTITY_FILE);
		if (!Files.exists(file) || LogFolder.isEmpty(folder)) {
			ReplicaId created = new ReplicaId(instance, Long.toHexString(new SecureRandom().nextLong()));
			DurableFiles.writeAtomically(file,
					List.of(ByteBuffer.wrap(created.text().getBytes(StandardCharsets.UTF_8))));
			return created;
		}
		ReplicaId found = ReplicaId.parse(Files.readString(file));
		if (!found.instance().equals(instance)) {
			throw new StorageException("The data folder " + folder + " belongs to instance " + found.instance()
					+ ", this is " + instance + ".", "Correct the instance or the data folder in the settings.");
		}
		return found;
	}

	/**
	 * Returns the replica that the folder belongs to.
	 * @return the replica
	 */
	public ReplicaId replica() {
		return this.replica;
	}

	@Override
	public void close() throws IOException {
		this.lockChannel.close();
	}

}
