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
 * A member of the replicated log together with its data folder, for one controller loop.
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
   * Opens a data folder and makes the member that it holds.
   *
   * @param folder the folder, which is made if needed
   * @param node the node of this process
   * @param settings settings of the member
   * @param random spreads election timeouts
   * @throws IOException when the folder is damaged, in use or cannot be written
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

  /** Returns the controller, to be run by the loop that {@link #start} is given. */
  public Controller controller() {
    return controller;
  }

  /**
   * Starts the storage thread.
   *
   * @param loop takes the events that answer writes
   */
  public void start(Consumer<Event> loop) {
    storage.start(new Listener(loop));
  }

  /** Hands a write to the storage thread without waiting for it. */
  public void persist(Persist effect) {
    storage.write(effect);
  }

  /** Writes what waits and lets go of the folder; close the loop first. */
  @Override
  public void close() {
    try {
      storage.close();
    } catch (IOException e) {
      Logger.warn("event=storage_close_failed reason={}", e.getMessage());
    }
  }

  private record Listener(Consumer<Event> loop) implements StorageListener {
    @Override
    public void onPersisted(long sync) {
      loop.accept(new Persisted(sync));
    }

    @Override
    public void onFailed(String reason) {
      Logger.error("event=storage_failed reason={}", reason);
      loop.accept(new StorageFailed(reason));
    }
  }
}
