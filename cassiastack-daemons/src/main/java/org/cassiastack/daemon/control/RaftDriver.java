package org.cassiastack.daemon.control;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cassiastack.consensus.Persist;
import org.cassiastack.consensus.Persisted;
import org.cassiastack.consensus.RaftController;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.consensus.StorageFailed;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;
import org.cassiastack.transport.storage.LogStorage;
import org.cassiastack.transport.storage.StorageListener;
import org.tinylog.Logger;

/**
 * Connects the controller of a member of the replicated log with the storage of the member's data
 * folder. The caller runs the controller in a {@code ControllerLoop}.
 *
 * <pre>{@code
 * RaftDriver raft = RaftDriver.open(folder, node, settings, random);
 * ControllerLoop loop = ControllerLoop.start("control", List.of(raft.controller()), ...);
 * raft.start(loop::post);
 * // in the effect handler: if (effect instanceof Persist p) raft.persist(p);
 * }</pre>
 *
 * @since 0.1
 */
public final class RaftDriver implements AutoCloseable {
  private final LogStorage storage;
  private final Controller controller;

  private RaftDriver(LogStorage storage, Controller controller) {
    this.storage = storage;
    this.controller = controller;
  }

  /**
   * Opens a data folder and creates the member whose state is stored in the folder.
   *
   * @param folder the data folder, which is created if needed
   * @param node the node of this process
   * @param settings members, timings and limits of the replicated log
   * @param random randomizes the election timeouts
   * @throws IOException if the folder is damaged, in use or not writable
   */
  public static RaftDriver open(
      Path folder, NodeId node, RaftSettings settings, RandomGenerator random) throws IOException {
    LogStorage storage = LogStorage.open(folder, node);
    Logger.info(
        "event=storage_recovered folder={} member={} term={} entries={}",
        folder,
        storage.recovered().self(),
        storage.recovered().hardState().term(),
        storage.recovered().entries().size());
    return new RaftDriver(storage, RaftController.create(settings, storage.recovered(), random));
  }

  /**
   * Returns the controller of the member. The loop that runs the controller must also receive the
   * events that are passed to the consumer of {@link #start}.
   */
  public Controller controller() {
    return controller;
  }

  /**
   * Starts the storage thread.
   *
   * @param events called on the storage thread: with {@link Persisted} when writes are durable, and
   *     with {@link StorageFailed} when a write has failed
   */
  public void start(Consumer<Event> events) {
    storage.start(new EventPoster(events));
  }

  /** Passes a write to the storage thread without waiting for the write. */
  public void persist(Persist effect) {
    storage.write(effect);
  }

  /** Completes the pending writes and releases the data folder. Close the loop first. */
  @Override
  public void close() {
    try {
      storage.close();
    } catch (IOException e) {
      Logger.warn("event=storage_close_failed reason={}", e.getMessage());
    }
  }

  private record EventPoster(Consumer<Event> events) implements StorageListener {
    @Override
    public void onPersisted(long sequence) {
      events.accept(new Persisted(sequence));
    }

    @Override
    public void onFailed(String reason) {
      Logger.error("event=storage_failed reason={}", reason);
      events.accept(new StorageFailed(reason));
    }
  }
}
