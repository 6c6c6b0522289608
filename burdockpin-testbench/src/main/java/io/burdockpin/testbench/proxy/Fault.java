package io.burdockpin.testbench.proxy;

import org.netcrusher.tcp.TcpCrusher;

/** What the proxy does to the connections that pass through it. */
public enum Fault {

	/** Passes everything. */
	NONE {
		@Override
		void apply(TcpCrusher crusher) {
			if (!crusher.isOpen()) {
				crusher.open();
			}
			if (crusher.isFrozen()) {
				crusher.unfreeze();
			}
		}
	},

	/** Closes all connections and refuses new ones. */
	REFUSE {
		@Override
		void apply(TcpCrusher crusher) {
			if (crusher.isOpen()) {
				crusher.close();
			}
		}
	},

	/** Passes nothing in either direction and keeps the connections open. */
	FREEZE {
		@Override
		void apply(TcpCrusher crusher) {
			NONE.apply(crusher);
			crusher.freeze();
		}
	},

	/** Drops what the client sends and passes what the target sends. */
	CUT_TO_TARGET {
		@Override
		void apply(TcpCrusher crusher) {
			NONE.apply(crusher);
		}

		@Override
		boolean dropsToTarget() {
			return true;
		}
	},

	/** Drops what the target sends and passes what the client sends. */
	CUT_TO_CLIENT {
		@Override
		void apply(TcpCrusher crusher) {
			NONE.apply(crusher);
		}

		@Override
		boolean dropsToClient() {
			return true;
		}
	},

	/** Drops everything in both directions and keeps the connections open. */
	CUT_BOTH {
		@Override
		void apply(TcpCrusher crusher) {
			NONE.apply(crusher);
		}

		@Override
		boolean dropsToTarget() {
			return true;
		}

		@Override
		boolean dropsToClient() {
			return true;
		}
	},

	/** Closes all connections once; new ones pass. */
	RESET {
		@Override
		void apply(TcpCrusher crusher) {
			NONE.apply(crusher);
			crusher.closeAllPairs();
		}
	},

	/** Delays everything in both directions by the configured time. */
	DELAY {
		@Override
		void apply(TcpCrusher crusher) {
			NONE.apply(crusher);
		}

		@Override
		boolean delays() {
			return true;
		}
	};

	abstract void apply(TcpCrusher crusher);

	boolean dropsToTarget() {
		return false;
	}

	boolean dropsToClient() {
		return false;
	}

	boolean delays() {
		return false;
	}

}
