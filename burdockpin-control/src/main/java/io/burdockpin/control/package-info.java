/** The control program: its root guardian and settings. */
package io.burdockpin.control;
