/** HTTP for callers, runners, workers and operators. */
package io.burdockpin.entry.http;
