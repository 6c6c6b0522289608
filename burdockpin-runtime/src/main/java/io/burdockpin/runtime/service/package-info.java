/** Program startup, reload and graceful stop. */
package io.burdockpin.runtime.service;
