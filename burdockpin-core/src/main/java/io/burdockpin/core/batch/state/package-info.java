/** The replicated state of jobs, runners and waves, and its commands. */
package io.burdockpin.core.batch.state;
