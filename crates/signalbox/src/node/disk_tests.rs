//! The writer on a disk with room for records, and none for an image.

use super::*;
use interlocking::zab::{Entry, Image, Payload, Record};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use trackbed::ids::{MemberId, Zxid};

/// Refuses whatever is longer than this.
const LONGEST_WRITE: usize = 1000;
const LIMIT: Duration = Duration::from_secs(5);

#[derive(Clone, Default)]
struct NarrowDisk(Arc<Mutex<BTreeMap<String, Vec<u8>>>>);

impl Disk for NarrowDisk {
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.lock().unwrap().get(name).cloned().unwrap_or_default())
    }
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() > LONGEST_WRITE {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut files = self.0.lock().unwrap();
        let file = files.entry(name.to_owned()).or_default();
        let end = offset as usize + bytes.len();
        file.resize(file.len().max(end), 0);
        file[offset as usize..end].copy_from_slice(bytes);
        Ok(())
    }
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.0.lock().unwrap().entry(name.to_owned()).or_default().resize(length as usize, 0);
        Ok(())
    }
    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn record(counter: u64) -> Vec<u8> {
    let entry = Entry { zxid: Zxid::new(1, counter), payload: Payload::Change(vec![1; 20]) };
    borsh::to_vec(&Record::Append(entry)).unwrap()
}

#[test]
fn an_image_that_can_not_be_written_holds_up_no_record() {
    let disk = NarrowDisk::default();
    let mut storage = Storage::recover(disk.clone()).unwrap().0;
    let mut image = Image::empty(MemberId(7), Vec::new());
    storage.write_image(&image).unwrap();
    let (done, mut tickets) = futures_channel::mpsc::unbounded();
    let writes = start(storage, done).unwrap();
    image.snapshot.state = vec![0; LONGEST_WRITE * 2];
    for counter in 1..=3 {
        writes.send(Write::Image { encoded: Storage::<NarrowDisk>::encode_image(&image) }).unwrap();
        writes.send(Write::Append { ticket: Ticket(counter), records: vec![record(counter)] }).unwrap();
    }
    let begun = Instant::now();
    let mut last = None;
    while last != Some(Ticket(3)) {
        assert!(begun.elapsed() < LIMIT, "an image that does not fit holds up the records after it");
        match tickets.try_recv() {
            Ok(ticket) => last = Some(ticket),
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    }
    let found = Storage::recover(disk).unwrap().1;
    let interlocking::storage::Recovered::Whole(found) = found else { panic!("whole: {found:?}") };
    assert_eq!(found.entries.len(), 3);
}
