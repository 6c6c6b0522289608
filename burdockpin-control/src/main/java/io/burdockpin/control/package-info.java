/** The control program: command line, settings and root actor. */
package io.burdockpin.control;
