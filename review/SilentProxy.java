package secondreview;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Carries the connections of the entries to one replica. Its open connections can be made to go silent for good, from
 * the next bytes on that the replica sends; they are not reset, and new ones work.
 */
final class SilentProxy implements AutoCloseable {

	private final ServerSocket server;

	private final InetSocketAddress target;

	private final List<Link> links = new ArrayList<>();

	SilentProxy(String host, int port, int targetPort) throws IOException {
		this.server = new ServerSocket(port, 50, InetAddress.getByName(host));
		this.target = new InetSocketAddress(host, targetPort);
		Thread thread = new Thread(this::accept, "proxy");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (true) {
			try {
				Link link = new Link(this.server.accept());
				synchronized (this.links) {
					this.links.add(link);
				}
				link.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	/** Makes the open connections go silent with the next answer; the latch counts those that have. */
	void silenceOpenConnections(CountDownLatch silenced) {
		synchronized (this.links) {
			this.links.forEach((link) -> link.silenced = silenced);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		synchronized (this.links) {
			this.links.forEach(Link::close);
		}
	}

	private final class Link {

		private final Socket caller;

		private final Socket replica = new Socket();

		private volatile CountDownLatch silenced;

		private volatile boolean silent;

		private Link(Socket caller) {
			this.caller = caller;
		}

		private void start() {
			Thread thread = new Thread(() -> {
				try {
					this.replica.connect(SilentProxy.this.target, 1000);
					this.caller.setTcpNoDelay(true);
					this.replica.setTcpNoDelay(true);
				}
				catch (IOException ex) {
					close();
					return;
				}
				Thread back = new Thread(() -> copy(this.replica, this.caller, true), "proxy-back");
				back.setDaemon(true);
				back.start();
				copy(this.caller, this.replica, false);
			}, "proxy-link");
			thread.setDaemon(true);
			thread.start();
		}

		private void copy(Socket from, Socket to, boolean answers) {
			byte[] buffer = new byte[65536];
			try {
				InputStream input = from.getInputStream();
				OutputStream output = to.getOutputStream();
				int count = input.read(buffer);
				while (count >= 0) {
					if (answers && this.silenced != null && !this.silent) {
						this.silent = true;
						this.silenced.countDown();
					}
					if (!this.silent) {
						output.write(buffer, 0, count);
						output.flush();
					}
					count = input.read(buffer);
				}
			}
			catch (IOException ex) {
				// The other side is gone.
			}
			if (!this.silent) {
				close();
			}
		}

		private void close() {
			try {
				this.caller.close();
				this.replica.close();
			}
			catch (IOException ex) {
				// Closed already.
			}
		}

	}

}
