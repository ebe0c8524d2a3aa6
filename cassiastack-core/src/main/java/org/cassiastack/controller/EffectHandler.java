package org.cassiastack.controller;

/**
 * Carries out the effects of controllers. It must not block: it hands work to other threads.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface EffectHandler {
  /**
   * Carries out one effect.
   *
   * @param effect what has to be done
   */
  void handle(Effect effect);
}
