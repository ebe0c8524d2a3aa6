package org.cassiastack.controller;

/**
 * Carries out the effects that controllers return. An implementation must not block; it passes
 * blocking work to other threads.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface EffectHandler {
  /**
   * Carries out one effect.
   *
   * @param effect the action to carry out
   */
  void handle(Effect effect);
}
