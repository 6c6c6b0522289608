/** Services, program start-up and graceful stop. */
package io.burdockpin.runtime.service;
